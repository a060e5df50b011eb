Feature: No more replicas than decided, and no overcommitted memory, when lease holders and engines fail in mid-load

  @replicas-as-decided @memory-not-overcommitted
  Scenario: The lease holder is frozen past its lease on an engine that checks fencing numbers
    When a caller requests "spec-summary" from a host that does not hold the lease of "shard-a"
    And "spec-summary" is being loaded on "engine-a"
    And the lease holder is suspended
    And another host holds the lease of "shard-a"
    And the suspended host resumes
    Then the waiting request is answered completely or refused with a result code
    And "spec-summary" is served completely by the hosts of failure domain "a"
    And no engine reports a violation
    And failure domain "a" has at most 1 replica of "spec-summary"

  @replicas-as-decided @memory-not-overcommitted
  Scenario: The lease holder is frozen past its lease on an engine that ignores fencing numbers
    Given the operator runs "drain server engine-a"
    When a caller requests "builder-quote" from a host that does not hold the lease of "shard-b"
    And "builder-quote" is being loaded on "engine-b"
    And the lease holder is suspended
    And another host holds the lease of "shard-b"
    And the suspended host resumes
    Then the waiting request is answered completely or refused with a result code
    And "builder-quote" is served completely by the hosts of failure domain "b"
    And no engine reports a violation
    And failure domain "b" has at most 1 replica of "builder-quote"
    And the operator runs "restore server engine-a"

  @replicas-as-decided
  Scenario: The lease holder is killed in mid-load
    Given the operator runs "drain server engine-b"
    When a caller requests "edge-quote" from a host that does not hold the lease of "shard-a"
    And "edge-quote" is being loaded on "engine-a"
    And the lease holder is killed
    And another host holds the lease of "shard-a"
    Then the waiting request is answered completely or refused with a result code
    And no engine reports a violation
    And failure domain "a" has at most 1 replica of "edge-quote"
    And the operator runs "restore server engine-b"

  @replicas-as-decided @memory-not-overcommitted
  Scenario: The engine becomes cold at the same address in mid-load
    Given the operator runs "drain server engine-a"
    When a caller requests "edge-quote" from a host that does not hold the lease of "shard-b"
    And "edge-quote" is being loaded on "engine-b"
    And the engine restarts without models at the same address
    Then the waiting request is answered completely or refused with a result code
    And "edge-quote" is served completely by the hosts of failure domain "b"
    And no engine reports a violation
    And failure domain "b" has at most 1 replica of "edge-quote"
    And the operator runs "restore server engine-a"
