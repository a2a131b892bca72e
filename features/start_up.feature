Feature: An ordinary product: clear errors, and nothing accepted is lost

  @start_up
  Scenario Outline: A wrong setting ends in one line that names it and the remedy
    When an entry host is started with "<old>" changed to "<new>"
    Then it ends with one line that has "<key>" and "<remedy>"

    Examples:
      | old             | new                | key            | remedy               |
      | caller_threads  | caller_thread      | caller_thread  | unknown setting      |
      | name = 'x'      | name = 7           | name = 7       | a text in quotes     |
      | caller_threads = 4 | caller_threads = 0 | caller_threads | must be >= 1      |
      | level = 'INFO'  | level = 'LOUD'     | log.level      | must be in           |
      | name = 'x'      | name =             | .toml          | not TOML             |
      | :7100           | :710000            | callers_address | a port from 0 to 65535 |

  @start_up
  Scenario: A wrong unit of time is named with the remedy
    When a control replica is started with heartbeat "100"
    Then it ends with one line that has "heartbeat" and "a unit in quotes"

  @start_up
  Scenario: An address in use is named
    When a control replica is started on an address that is in use
    Then it ends with one line that has "can't listen on" and "change the address"

  @start_up
  Scenario Outline: Killing any one process during requests loses no accepted change
    Given organisation "clinic" has a key
    When an operator creates organisation "kept-<name>"
    And "clinic" keeps every other host busy while "<name>" is killed
    Then organisation "kept-<name>" exists
    And the change is in force everywhere but at "<name>"

    Examples:
      | name      |
      | control-1 |
      | control-2 |
      | control-3 |
      | north-a-1 |
      | north-a-2 |
      | south-a-1 |

  @start_up
  Scenario: A host that starts while its domain is cut off learns from its neighbour
    Given organisation "clinic" has a key
    When every control replica is frozen
    And "south-a-1" is killed
    And "south-a-1" is started
    Then "clinic" is answered at "south-a-1" within 10 s

  @start_up
  Scenario: Load from an experiment file, and the report on what it did
    Given organisation "clinic" has a key
    When 60 requests a second of "clinic" to "/slots/1" are sent for 3 s by experiment
    Then the experiment answered every request
    And the report counts them for "slots" and "clinic"
