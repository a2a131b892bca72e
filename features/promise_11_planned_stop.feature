Feature: A planned stop is a graceful shutdown: it cuts off no request

  Background:
    Given organisation "clinic" has a key

  @promise_11
  Scenario: A host with a planned stop is no longer named and still serves
    When an operator plans a stop of "north-a-2"
    Then the look-up no longer names "north-a-2" within 8 s
    When "clinic" sends "GET /slots/1" to host "north-a-2"
    Then the answer is 200
    And the caller is told to close the connection
    When an operator ends the stop of "north-a-2"
    Then the look-up names "north-a-2" within 8 s

  @promise_11
  Scenario: The host is stopped while requests are in flight
    When 8 callers send "clinic" requests that take 1 s to host "north-a-2"
    And "north-a-2" is told to stop
    Then every request was answered
    And "north-a-2" ends by itself within 10 s
