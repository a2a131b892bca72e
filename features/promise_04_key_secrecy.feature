Feature: No target ever sees a caller's key

  Background:
    Given organisation "clinic" has a key

  @promise_04
  Scenario Outline: A key in any case of the header is used and not passed on
    When "clinic" sends "GET /slots/1" with header "<header>: KEY"
    Then the answer is 200
    And no target has ever seen a key of any organisation

    Examples:
      | header          |
      | Chicoryhold-Key |
      | chicoryhold-key |
      | CHICORYHOLD-KEY |

  @promise_04
  Scenario Outline: A key where it can be removed is removed
    When "clinic" sends "GET /slots/1" with its key in the "<place>"
    Then the answer is 200
    And no target has ever seen a key of any organisation

    Examples:
      | place        |
      | cookie       |
      | other header |

  @promise_04
  Scenario Outline: A key where it can't be removed stops the request
    When "clinic" sends "GET /slots/1" with its key in the "<place>"
    Then it is refused as "bad_request" and "not_run"
    And no target saw the request
    And no target has ever seen a key of any organisation

    Examples:
      | place               |
      | query               |
      | encoded query       |
      | twice encoded query |
      | path                |
      | body                |
