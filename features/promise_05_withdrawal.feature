Feature: A withdrawn key stops working within seconds, even on an open connection

  Background:
    Given organisation "clinic" has a key

  @promise_05
  Scenario: Withdrawn on a connection that stays open
    When "clinic" sends "GET /slots/1"
    Then the answer is 200
    When an operator withdraws the key of "clinic"
    And "clinic" sends "GET /slots/1" every 0.1 s until refused
    Then it was refused within 5 s
    And it is refused as "key_rejected" and "not_run"

  @promise_05
  Scenario: Withdrawn while the domain's first host, which others follow, is frozen
    When "clinic" sends "GET /slots/1" to host "north-a-3"
    Then the answer is 200
    When "north-a-1" is frozen
    And an operator withdraws the key of "clinic"
    And "clinic" keeps sending "GET /slots/1" to host "north-a-3" until refused
    Then it was refused within 5 s

  @promise_05
  Scenario: A host that slept through the withdrawal doesn't believe its old copy
    When "clinic" sends "GET /slots/1" to host "north-a-3"
    Then the answer is 200
    When "north-a-3" is frozen
    And an operator withdraws the key of "clinic"
    And 6 s pass
    And "clinic" sends "GET /slots/1" to host "north-a-3" as it wakes
    Then no answer was 200 and no target saw the later requests

  @promise_05
  Scenario: A domain cut off from control serves on, as long as the organisation allows
    Given organisation "cautious" has a key
    When "cautious" sends "GET /slots/1"
    Then the answer is 200
    When every control replica is frozen
    And 7 s pass
    And "clinic" sends "GET /slots/1"
    Then the answer is 200
    When "cautious" sends "GET /slots/1"
    Then it is refused as "not_ready" and "not_run"
    When every control replica is woken
    And "cautious" keeps sending "GET /slots/1" until answered
    Then the answer is 200
