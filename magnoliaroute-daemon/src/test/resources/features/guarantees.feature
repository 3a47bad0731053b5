Feature: What always holds
  Each scenario states one guarantee of docs/design.md, section 1.2, under a failure.

  Scenario: G1 The calls of one program run in their dependent order
    Given two daemons before two engines
    And a program begun at the first daemon
    When the caller asks the second daemon for turn 1 before turn 0
    Then the reply is "not_run" with code "turn_out_of_order"
    When the caller asks both daemons for turn 0 at the same time
    Then the history has exactly 1 turn

  Scenario: G2 A program's history is never lost and never mixed with another program's
    Given two daemons before two engines
    When 6 programs take turns at both daemons while the log loses answers
    Then each history holds exactly its own 3 turns at both daemons
    And another team does not see any of the programs

  Scenario: G3 A team's budget is never exceeded
    Given two daemons before two engines
    And the team's budget is 20000 tokens
    And the first engine loses 4 answers
    When callers run turns at both daemons until the budget is used up
    Then the engines have spent at most 20000 tokens for the team
    And the team could use at least half of its budget

  Scenario: G4 No engine memory stays held for programs that have ended
    Given two daemons before two engines
    And the engines publish no cache events
    And a program with a turn, begun at the first daemon
    When the program ends at the second daemon
    Then no engine holds its memory within 2000 ms

  Scenario: G4 Memory is released though the notice of the end was lost
    Given two daemons before two engines
    And a program with a turn, begun at the first daemon
    When an engine holds memory of a program that has ended without a notice
    Then no engine holds its memory within 2000 ms
    And the memory of the live program is still held

  Scenario: G5 Each caller gets the whole answer to its own request
    Given two daemons before two engines
    And the first engine loses 4 answers
    When 24 callers run a turn at the same time
    Then each caller has the whole answer to its own request

  Scenario: G6 A request refused as "not run" truly did not run
    Given two daemons before two engines
    And a program with a turn, begun at the first daemon
    And the log takes appends late
    When the caller requests a payment with a deadline of 1500 ms
    Then the reply is "not_run" or "unknown"
    When the late appends land
    Then a payment that was not run has 0 executions

  Scenario: G7 A non-idempotent action runs at most once
    Given two daemons before two engines
    And a program with a turn, begun at the first daemon
    And the service loses the next 2 answers after the effect
    When the caller requests the same payment at both daemons, twice
    Then all replies agree on the outcome
    And the payment has 1 execution

  Scenario: G8 An endpoint that is leaving receives no new work
    Given two daemons before two engines
    When an operator drains the first engine at the second daemon
    Then within 3000 ms no new turn reaches the first engine
    When the operator resumes the first engine
    Then new turns reach the first engine again

  Scenario: G9 A planned stop cuts off no request
    Given two daemons before two slow engines
    When 12 callers run a turn at the same time and the second daemon stops
    Then each caller has the whole answer to its own request
    And the stopped daemon reports exit code 0

  Scenario: G10 An accepted configuration is in force everywhere and never reverts
    Given two daemons before two engines
    When two operators publish a change of the same branch on the same base
    Then one is accepted and the other gets code "config_conflict"
    And the accepted change is in force at both daemons within 8000 ms
    When the log goes down and a third daemon starts
    Then the accepted change is in force at the third daemon
