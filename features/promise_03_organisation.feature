Feature: A request runs only for the organisation whose key came with it

  Background:
    Given organisation "clinic" has a key
    And organisation "courier" has a key

  @promise_03
  Scenario: A valid key runs the request for its organisation
    When "clinic" sends "GET /slots/1"
    Then the answer is 200
    And the target was told organisation "clinic"

  @promise_03
  Scenario: A key that was never given is refused
    Given a key that was never given
    When "nobody" sends "GET /slots/1"
    Then it is refused as "key_rejected" and "not_run"
    And no target saw the request

  @promise_03
  Scenario: No key is refused on a keyed route and accepted on an open one
    When "stranger" sends "GET /slots/1"
    Then it is refused as "key_missing" and "not_run"
    And no target saw the request
    When "stranger" sends "GET /open-slots/1"
    Then the answer is 200

  @promise_03
  Scenario: Two organisations take turns on the same connections
    When "clinic" sends "GET /slots/1"
    Then the target was told organisation "clinic"
    When "courier" sends "GET /slots/1"
    Then the target was told organisation "courier"
    When "clinic" sends "GET /slots/1"
    Then the target was told organisation "clinic"

  @promise_03
  Scenario: A caller can't name an organisation itself
    When "clinic" sends "GET /slots/1" with header "Chicoryhold-Organisation: courier"
    Then the target was told organisation "clinic"
    When "stranger" sends "GET /open-slots/1" with header "Chicoryhold-Organisation: courier"
    Then the target was told organisation ""

  @promise_03
  Scenario: Two keys at once are refused
    When a caller sends the key of "clinic" twice
    Then the key sent twice is refused

  @promise_03
  Scenario Outline: An open route is no way into a keyed one
    When "stranger" sends the path "<path>" as it is
    Then it is refused as "bad_request" and "not_run"
    And no target saw the request

    Examples:
      | path                       |
      | /open-slots/../slots/1     |
      | /open-slots/%2e%2e/slots/1 |
      | /open-slots/..;x/slots/1   |
      | /open-slots//slots/1       |
