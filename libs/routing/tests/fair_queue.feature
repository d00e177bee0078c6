Feature: The queue of an upstream is fair and keeps no request in vain

  Guards against one account crowding out the others, requests that wait
  after their deadline has become unreachable, batch work that never runs,
  and a queue that grows without bound.

  Scenario: Any sequence of events agrees with a simple model of the queue
    Then a random machine finds no difference from the model

  Scenario: A backlogged account gets its weighted share whatever others do
    Then no other account gets ahead of it by more than one request of each

  Scenario: Batch work fills the gaps and is not starved
    Given every priority class always has requests waiting
    When 4000 requests are served
    Then the most urgent class gets at least 0.85 of the service
    And every class is served within 110 times the largest request

  Scenario: A full queue sheds from the account above its share
    Given a full queue in which one account has most of the work
    When another account's request arrives
    Then a request of the account above its share is shed with a retry instant

  Scenario: A rejected request learns when the queue will have drained
    Given a queue with 100 requests of which 10 are served per second
    When a request that is already late arrives
    Then its retry instant is about 9 seconds away
