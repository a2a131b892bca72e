Feature: A caller receives the whole answer to its own request

  Background:
    Given organisation "clinic" has a key

  @promise_07
  Scenario Outline: A broken answer is never passed on
    When "clinic" sends "POST /payments/1" to a target that answers "<fault>"
    Then it is refused as "<kind>" and "unknown"
    And the request ran once

    Examples:
      | fault   | kind          |
      | short   | timed_out     |
      | long    | answer_broken |
      | swapped | answer_broken |

  @promise_07
  Scenario: An answer after the deadline doesn't reach the next request
    When "clinic" sends "POST /payments/1" to a target that answers "slow 4"
    Then it is refused as "timed_out" and "unknown"
    When "clinic" sends 20 different requests in turn for 3 s
    Then each got the answer to its own request

  @promise_07
  Scenario: A slow answer within the deadline arrives, on fresh and kept connections
    When "clinic" sends "POST /payments/1" to a target that answers "slow 2"
    Then the answer is 200
    When "clinic" sends "POST /payments/1" to a target that answers "slow 2"
    Then the answer is 200

  @promise_07
  Scenario: Many callers at once get their own answers
    When "clinic" sends 200 different requests from 8 callers at once
    Then each got the answer to its own request
