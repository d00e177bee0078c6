Feature: The readiness probe never waits for an operator's question

  Guards against a relay that the load balancer takes out because its probe
  waits behind an explanation, which waits for the coordinator.

  Scenario: The port of the probe does not explain
    Given a relay whose explanation takes 3 seconds
    When an explanation is requested on the port of the readiness probe
    Then the probe is answered within 1 second
    And the metrics port gives the explanation
