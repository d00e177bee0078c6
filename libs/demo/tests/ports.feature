Feature: Demonstration systems on one machine use different ports

  Guards against two systems that choose the same port before either listens
  on it, so that one connects to the processes of the other.

  Scenario: Two processes choose their ports at the same time
    When 2 processes choose 700 ports each
    Then no port was chosen more than once
