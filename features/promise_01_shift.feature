Feature: A shift of traffic stays under its cap

  Background:
    Given organisation "clinic" has a key

  @promise_01
  Scenario: A shift of everything, with far more demand than its cap
    When an operator shifts all "slots" from "north-a" to "south-a" under 10 a second
    And "clinic" sends "GET /slots/1" to all hosts of "north-a" for 5 s
    Then every request was answered
    And at most 1 plus 10 a second ran in "south-a"
    And at least 1 ran in "south-a"

  @promise_01
  Scenario: The receiving coordinator is killed during the shift
    Given the coordinator of "south-a" is known
    When an operator shifts all "slots" from "north-a" to "south-a" under 10 a second
    And 2 s later the coordinator is killed
    And "clinic" sends "GET /slots/1" to all hosts of "north-a" for 5 s
    Then every request was answered
    And at most 1 plus 10 a second ran in "south-a"
