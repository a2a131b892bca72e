Feature: No organisation gets more than its rate and burst across all hosts together

  @promise_06
  Scenario: One organisation far above its rate at every host
    Given organisation "small" has a key
    When "small" sends "GET /slots/1" from every host for 4 s
    Then at most 10 plus 20 a second ran
    And at least 80 percent of 20 a second ran
    And every refusal was "rate_exceeded" and "not_run"

  @promise_06
  Scenario: The coordinator is killed while the organisation is above its rate
    Given organisation "small" has a key
    And the coordinator of "north-a" is known
    When 1.5 s later the coordinator is killed
    And "small" sends "GET /slots/1" from every host but the coordinator for 6 s
    Then at most 10 plus 20 a second ran

  @promise_06
  Scenario: A burst of two for the whole fleet
    Given organisation "tiny" has a key
    When "tiny" sends "GET /slots/1" from every host for 3 s
    Then at most 2 plus 1 a second ran

  @promise_06
  Scenario: All demand in one domain, within the rate, is never refused
    Given organisation "small" has a key
    When 3 s pass
    And "small" sends 54 requests "GET /slots/1" evenly in 3 s to "south-a-2"
    Then every request was answered

  @promise_06
  Scenario: Targets that name a limit get no more from all hosts together
    Given organisation "clinic" has a key
    When every target of "slots" names a limit of 5
    And "clinic" sends "GET /slots/1" from every host for 9 s
    Then no target of "slots" got more than a limit of 5 allows, 2 s after it was named
    And every refusal was "overloaded" and "not_run"
    When every target of "slots" names no limit
    And "clinic" sends "GET /slots/1" from every host for 2 s
    Then at least 80 percent of 200 a second ran
