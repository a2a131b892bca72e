Feature: No region is overloaded by a steering decision

  Background:
    Given organisation "clinic" has a key

  @promise_02
  Scenario: More requests at once than slots, at every host
    When "clinic" sends 30 requests "GET /slots/1" at once to targets that take 0.2 s
    Then no target had more requests at once than its slots

  @promise_02
  Scenario: A shift into a domain whose slots are taken
    When an operator shifts all "slots" from "north-a" to "south-a" under 1000 a second
    And "clinic" fills the "slots" of "south-a" for 2 s
    And "clinic" sends 10 requests "GET /slots/1" one by one to "north-a-1"
    Then none of them ran in "south-a"
    And no target had more requests at once than its slots
