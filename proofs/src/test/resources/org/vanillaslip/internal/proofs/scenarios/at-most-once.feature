Feature: A booking runs at most once, and a refusal that says "not run" is true

  @at-most-once
  Scenario: The host dies after the service executed the booking
    Given the next call of each service has the fault "silent" with 0 ms delay
    When a caller starts the booking "killed-host" on "host-a1"
    And the host "host-a1" is killed
    And the caller repeats the booking "killed-host" on "host-b1"
    Then the answer has the result code 4001 and "not run" is false
    And the booking "killed-host" was executed 1 time

  @at-most-once
  Scenario: The service answers late but before the deadline
    Given the next call of each service has the fault "late" with 2000 ms delay
    When a caller books "late" on "host-a1"
    Then the answer is the outcome of the booking
    When the caller repeats the booking "late" on "host-b1"
    Then the answer is the same as the first one
    And the booking "late" was executed 1 time

  @at-most-once @not-run-is-true
  Scenario: The service never answers
    Given the next call of each service has the fault "silent" with 0 ms delay
    When a caller books "silent" on "host-a2" with a deadline of 2000 ms
    Then the answer has the result code 2004 and "not run" is false
    When the caller repeats the booking "silent" on "host-b2"
    Then the answer has the result code 4001 and "not run" is false
    And the booking "silent" was executed 1 time

  @at-most-once @not-run-is-true
  Scenario: The service closes the connection after executing
    Given the next call of each service has the fault "close_after" with 0 ms delay
    When a caller books "closed" on "host-b1"
    Then the answer has the result code 3006 and "not run" is false
    When the caller repeats the booking "closed" on "host-a1"
    Then the answer has the result code 4001 and "not run" is false
    And the booking "closed" was executed 1 time

  @at-most-once
  Scenario: The platform loses the answers of the attempt's writes
    Given the platform has the fault '{"lostWriteAnswers": 1000000}'
    When a caller books "lost-answer" on "host-a1"
    Then the answer is the outcome of the booking
    When the caller repeats the booking "lost-answer" on "host-b2"
    Then the answer is the same as the first one
    And the booking "lost-answer" was executed 1 time

  @at-most-once @not-run-is-true
  Scenario: The platform is down
    Given the platform has the fault '{"outage": true}'
    When a caller books "platform-down" on "host-b2"
    Then the answer has the result code 3004 and "not run" is true
    And the booking "platform-down" was executed 0 times
    When all faults are removed
    And the caller repeats the booking "platform-down" on "host-b1"
    Then the answer is the outcome of the booking
    And the booking "platform-down" was executed 1 time
