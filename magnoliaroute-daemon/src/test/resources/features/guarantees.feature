Feature: Guarantees under failures and concurrency
  Each scenario checks one guarantee of docs/design.md, section 1.2, under failures, concurrent
  requests or a change by an operator.

  Scenario: G1 The calls of one program run in their dependent order
    Given two daemons in front of two engines
    And a program started at the first daemon
    When the client requests turn 1 at the second daemon before turn 0
    Then the response is "not_run" with code "turn_out_of_order"
    When the client requests turn 0 at both daemons concurrently
    Then the history contains exactly 1 turn

  Scenario: G2 A program's history is never lost and never mixed with another program's
    Given two daemons in front of two engines
    When 6 programs run turns at both daemons while the log loses responses
    Then each history contains exactly its own 3 turns at both daemons
    And another team cannot access any of the programs

  Scenario: G3 A team's budget is never exceeded
    Given two daemons in front of two engines
    And the team's budget is 20000 tokens
    And the first engine loses 4 responses
    When clients run turns at both daemons until the budget is exhausted
    Then the engines have used at most 20000 tokens for the team
    And the engines have used at least half of the team's budget

  Scenario: G4 No engine memory stays held for programs that have ended
    Given two daemons in front of two engines
    And the engines publish no cache events
    And a program with a completed turn, started at the first daemon
    When the program ends at the second daemon
    Then all engines release the program's cache entry within 2000 ms

  Scenario: G4 Memory is released though the notice of the end was lost
    Given two daemons in front of two engines
    And a program with a completed turn, started at the first daemon
    When an engine has a cache entry of a program whose end was not reported
    Then all engines release the program's cache entry within 2000 ms
    And the cache entry of the live program is retained

  Scenario: G5 Each caller gets the whole answer to its own request
    Given two daemons in front of two engines
    And the first engine loses 4 responses
    When 24 clients run a turn concurrently
    Then each client has received the complete response to its own request

  Scenario: G6 A request refused as "not run" truly did not run
    Given two daemons in front of two engines
    And a program with a completed turn, started at the first daemon
    And the log delays appends
    When the client requests a payment with a deadline of 1500 ms
    Then the response is "not_run" or "unknown"
    When the log applies the delayed appends
    Then a payment reported as not run has 0 executions

  Scenario: G7 A non-idempotent action runs at most once
    Given two daemons in front of two engines
    And a program with a completed turn, started at the first daemon
    And the service executes the next 2 requests but loses the responses
    When the client requests the same payment at both daemons, twice
    Then all responses report the same outcome
    And the payment has 1 execution

  Scenario: G8 An endpoint that is leaving receives no new work
    Given two daemons in front of two engines
    When an operator drains the first engine at the second daemon
    Then the drain takes effect within 3000 ms and no new turn reaches the first engine
    When the operator resumes the first engine
    Then new turns reach the first engine again

  Scenario: G9 A planned stop cuts off no request
    Given two daemons in front of two slow engines
    When 12 clients run a turn concurrently and the second daemon stops
    Then each client has received the complete response to its own request
    And the stopped daemon reports exit code 0

  Scenario: G10 An accepted configuration is in force everywhere and never reverts
    Given two daemons in front of two engines
    When two operators publish changes to the same branch with the same base version
    Then one change is accepted and the other is rejected with code "config_conflict"
    And the accepted change is active at both daemons within 8000 ms
    When the log becomes unavailable and a third daemon starts
    Then the accepted change is active at the third daemon
