Feature: An accepted configuration is in force everywhere within seconds, for good

  @promise_12
  Scenario: A change reaches every host
    When an operator creates organisation "org-plain"
    Then the change is in force everywhere within 8 s

  @promise_12
  Scenario: The leader is killed right after it accepted a change
    When an operator creates organisation "org-killed"
    And the control leader is killed
    Then organisation "org-killed" exists
    And the change is in force everywhere within 8 s

  @promise_12
  Scenario: The leader is frozen, operators go on, and it wakes
    When the control leader is frozen
    And an operator creates organisation "org-frozen"
    And the frozen leader is woken
    Then organisation "org-frozen" exists
    And the change is in force everywhere within 8 s

  @promise_12
  Scenario: Two operators race from the same revision
    When two operators change "organisation,race-a,rate,5,requests/s" and "organisation,race-b,rate,6,requests/s" from the same revision
    Then one is accepted and the other is shown the difference

  @promise_12
  Scenario: A resend under the same request id after the leader died
    When an operator creates organisation "org-resent" with request id "resend-1"
    And the control leader is killed
    And an operator creates organisation "org-resent" with request id "resend-1"
    Then both outcomes are the same and accepted

  @promise_12
  Scenario: A disk is lost, the replica returns, and then another is lost
    When an operator creates organisation "org-disk"
    And the control leader is killed
    And the killed replica is started again with an empty disk
    And the control leader is killed
    Then organisation "org-disk" exists
    And the change is in force everywhere within 8 s

  @promise_12
  Scenario: Restart after 500 changes, through a snapshot
    When an operator creates organisation "org-before" with request id "snapshot-1"
    And 500 changes are made under the name "bulk"
    And every control replica is killed and started again
    Then all 500 organisations named "bulk" exist
    And the change is in force everywhere within 8 s
    When an operator creates organisation "org-before" with request id "snapshot-1"
    Then both outcomes are the same and accepted

  @promise_12
  Scenario: An entry host restarts and never shows an older configuration
    When an operator creates organisation "org-restart"
    Then the change is in force everywhere within 8 s
    When "north-a-3" is killed and started again
    Then host "north-a-3" never goes below the revision
