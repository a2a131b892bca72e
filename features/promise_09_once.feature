Feature: A payment that may not be repeated runs at most once

  Background:
    Given organisation "clinic" has a key

  @promise_09
  Scenario: A resend to another host and to another domain gets the first answer
    When "clinic" pays with key "a" at host "north-a-1"
    And "clinic" pays with key "a" at host "north-a-3"
    Then the answer is 200
    And both answers are the same
    When "clinic" pays with key "a" at host "south-a-2"
    Then both answers are the same
    And the request ran once

  @promise_09
  Scenario: Sent to every host at the same moment
    When "clinic" pays with key "a" at every host at the same moment
    Then all answers of 200 are the same
    And the request ran once

  @promise_09
  Scenario: The host is killed while the target works
    When "clinic" starts paying with key "a" at host "south-a-1" and waits for "slow 1"
    And "south-a-1" is killed
    And "clinic" pays with key "a" at host "north-a-2"
    Then it is refused as "in_progress" and "unknown"
    And the request ran once

  @promise_09
  Scenario: The target never answers, and the caller resends
    When "clinic" pays with key "a" to a target that answers "silent"
    Then it is refused as "timed_out" and "unknown"
    When "clinic" pays with key "a" at host "north-a-2"
    Then it is refused as "in_progress" and "unknown"
    And the request ran once

  @promise_09
  Scenario: One replica of the claim is restarted before the resend
    When "clinic" pays with key "a"
    And "north-a-2" is killed and started again
    And "clinic" pays with key "a" at host "north-a-3"
    Then both answers are the same
    And the request ran once

  @promise_09
  Scenario: Two replicas of the claim lose their memory before the resend
    When "clinic" pays with key "a"
    And "north-a-2" is killed and started again
    And "north-a-3" is killed and started again
    And "clinic" pays with key "a" at host "south-a-1"
    Then the request ran at most once

  @promise_09
  Scenario: Every replica of the claim loses its memory before the resend
    When "clinic" pays with key "a"
    And "north-a-1" is killed and started again
    And "north-a-2" is killed and started again
    And "north-a-3" is killed and started again
    And "clinic" pays with key "a" at host "south-a-1"
    Then it is refused as "not_ready" and "unknown"
    And the request ran once

  @promise_09
  Scenario: A key used again for another payment is refused
    When "clinic" pays 40 with key "a"
    And "clinic" pays 90 with key "a"
    Then it is refused as "idempotency_key_reused" and "not_run"
    And the request ran once

  @promise_09
  Scenario: A key without a home never runs
    When "clinic" pays with the plain key "invoice-17"
    Then it is refused as "bad_request" and "not_run"
    And no target saw the request

  @promise_09
  Scenario: A target that shed the payment leaves the key free for a resend
    When "clinic" pays with key "a" to a target that answers "shed"
    Then it is refused as "overloaded" and "not_run"
    When "clinic" pays with key "a"
    Then the answer is 200
    And the request ran once
