Feature: A failure domain that is cut off from the platform goes on and rejoins

  @replicas-as-decided @memory-not-overcommitted @served-or-refused-in-time
  Scenario: Cut off for longer than the lease
    Given the operator runs "drain server engine-a"
    And every host has the platform's configuration
    And "edge-quote" is served completely by the hosts of failure domain "b"
    And the platform has the fault '{"refusedFailureDomains": ["b"], "breakWatches": true}'
    When the lease of "shard-b" is lost
    Then the hosts of failure domain "b" serve "edge-quote" completely
    And the hosts of failure domain "b" serve "builder-quote" or refuse it with a result code
    When all faults are removed
    And "shard-b" has a lease holder with a newer term on the platform
    Then "edge-quote" is served completely by the hosts of failure domain "b"
    And "builder-quote" is served completely by the hosts of failure domain "b"
    And no engine reports a violation
    And failure domain "b" has at most 1 replica of "edge-quote"
    And failure domain "b" has at most 1 replica of "builder-quote"
    And the operator runs "restore server engine-a"
