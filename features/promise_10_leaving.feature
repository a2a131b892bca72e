Feature: A leaving target gets no new work after a few seconds

  Background:
    Given organisation "clinic" has a key

  @promise_10
  Scenario: A target that drains gets no new work after 2 s and finishes its own
    Given another target of "slots" in "north-a"
    When "clinic" keeps it and the others busy
    And the other target is told to leave
    Then it gets no new work after 2 s
    And every request was answered

  @promise_10
  Scenario: A target that says in its answers alone that it leaves gets no new work
    Given another target of "slots" in "north-a"
    When "clinic" keeps it and the others busy
    And the other target says in its answers alone that it leaves
    Then it gets no new work after 2 s
    And every request was answered

  @promise_10
  Scenario: A target that goes silent gets no new work once its announcement is old
    Given another target of "slots" in "north-a"
    When "clinic" keeps it and the others busy
    And the other target is killed
    Then every request was answered
