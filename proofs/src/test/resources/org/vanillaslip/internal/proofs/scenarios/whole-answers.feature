Feature: Every request is answered completely or refused

  @served-or-refused-in-time @whole-answers
  Scenario: A burst at all hosts for a sleeping model
    When 30 callers at every host request "builder-quote" with a deadline of 30000 ms
    Then every request is answered completely or refused with a result code
    And at least 1 request was answered completely

  @whole-answers
  Scenario: Streams that break once are resumed
    Given "edge-quote" is served completely by the hosts of failure domain "a"
    And "edge-quote" is served completely by the hosts of failure domain "b"
    And the engines have the fault '{"break_after_tokens": 3, "times": 1}'
    When 1 callers at every host request "edge-quote" with a deadline of 30000 ms
    Then every request is answered completely

  @whole-answers
  Scenario: Streams that always break end as errors
    Given "edge-quote" is served completely by the hosts of failure domain "a"
    And "edge-quote" is served completely by the hosts of failure domain "b"
    And the engines have the fault '{"break_after_tokens": 3}'
    When 2 callers at every host request "edge-quote" with a deadline of 30000 ms
    Then every request is answered completely or refused with a result code

  @whole-answers
  Scenario: Answers of other requests are not passed on
    Given "edge-quote" is served completely by the hosts of failure domain "a"
    And "edge-quote" is served completely by the hosts of failure domain "b"
    And the engines have the fault '{"wrong_request_id": true}'
    When 2 callers at every host request "edge-quote" with a deadline of 30000 ms
    Then every request is answered completely or refused with a result code
