Feature: Guarantees to callers and operators
  A deployment of separate processes in two data centres keeps its guarantees.

  Scenario: A pipeline returns its complete result
    When the depot runs the pipeline "round-summary" on "Maritsa embankment"
    Then the answer is the output of the pipeline for "Maritsa embankment"

  Scenario: A streamed pipeline ends with its length and digest
    When the depot streams the pipeline "round-summary" on "Rogoshko shose"
    Then the stream has the tokens of "Rogoshko shose" and ends with their number and digest

  Scenario: A repeated key returns the first answer
    When the depot books drain "7" with the key "first"
    And the depot books drain "7" with the key "first" at another daemon
    Then both answers are the same and the second is marked as replayed
    And the key "first" ran once

  Scenario: A key belongs to one request
    When the depot books drain "8" with the key "second"
    And the depot books drain "9" with the key "second" at another daemon
    Then the second booking is refused as "key_reused" and was not run

  Scenario: A customer without a plan is refused before anything runs
    When "nobody" books drain "1" with the key "third"
    Then the booking is refused as "unauthenticated" and was not run

  Scenario: A plan's limit holds over all daemons
    Given a plan of 5 requests a minute for the new customer "small"
    When "small" sends 12 look-ups over all daemons within a minute
    Then at most 5 of them are answered and the others are refused as "over_plan"

  Scenario: Two operators change the same list
    When two operators propose changes on the same version at different daemons
    Then one change is accepted and the other operator is shown it
    And the accepted version comes into force at every daemon
