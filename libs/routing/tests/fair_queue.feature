Feature: The queue of an upstream is fair and rejects requests early

  Guards against one account that starves the others, against requests that
  wait after their deadline has become unreachable, against starvation of
  less urgent requests, and against a queue that grows without bound.

  Scenario: Any sequence of events gives the same result as a simple model
    Then a stateful random test finds no difference from the model

  Scenario: A backlogged account gets its weighted share under any load
    Then no other account gets ahead of it by more than one request of each

  Scenario: Less urgent classes get a small share and are not starved
    Given every priority class always has requests waiting
    When 4000 requests are served
    Then the most urgent class gets at least 0.85 of the service
    And every class is served within 110 times the largest request

  Scenario: A full queue sheds a request of the account above its share
    Given a full queue in which one account has most of the requests
    When a request of another account arrives
    Then a request of the account above its share is shed with a retry time

  Scenario: A rejection has the time at which the queue will have drained
    Given a queue with 100 requests of which 10 are served per second
    When a request arrives after its deadline
    Then its retry time is about 9 seconds away
