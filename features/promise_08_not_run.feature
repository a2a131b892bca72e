Feature: A refusal that says "not run" is true

  Background:
    Given organisation "clinic" has a key

  @promise_08
  Scenario: A target that sheds says so itself
    When "clinic" sends "POST /payments/1" to a target that answers "shed"
    Then it is refused as "overloaded" and "not_run"
    And no target saw the request

  @promise_08
  Scenario: A target that dies after it got the request leaves it unknown
    When "clinic" sends "POST /payments/1" to a target that answers "die"
    Then it is refused as "timed_out" and "unknown"

  @promise_08
  Scenario: A target that never answers leaves it unknown
    When "clinic" sends "POST /payments/1" to a target that answers "silent"
    Then it is refused as "timed_out" and "unknown"
    And the request ran once

  @promise_08
  Scenario: With every target of the service gone nothing runs
    When every target of "payments" is killed
    And "clinic" sends "POST /payments/1"
    Then it is refused as "no_target" and "not_run"
    And no target saw the request

  @promise_08
  Scenario: A resend that is refused early doesn't deny an earlier run
    When "clinic" pays with key "a"
    Then the answer is 200
    When an operator withdraws the key of "clinic"
    And "clinic" pays with key "a" until refused
    Then it is refused as "key_rejected" and "unknown"
    And the request ran once

  @promise_08
  Scenario: A resend that is malformed doesn't deny an earlier run
    When "clinic" pays with key "a"
    Then the answer is 200
    When "clinic" pays with key "a" and its secret in the body
    Then it is refused as "bad_request" and "unknown"
    And the request ran once

  @promise_08
  Scenario: A request that crashes targets is refused by every host after three of them
    When "clinic" sends "GET /slots/1" that crashes targets until every host refuses it
    Then it crashed at most 5 targets
    And no host sent it 2 s after the third crash
    And every refusal of the last round was "quarantined" and "not_run"
    When "clinic" keeps sending "GET /slots/2" until answered
    Then the answer is 200
