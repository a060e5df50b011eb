Feature: An accepted configuration is in force everywhere and never reverts

  @configuration-in-force
  Scenario: A key is added and withdrawn while one host is frozen
    Given the host "host-a2" is suspended
    When the operator adds a key
    Then the host "host-a1" accepts the added key
    When the operator withdraws the added key
    And all faults are removed
    Then every host refuses the added key in 10 consecutive rounds

  @configuration-in-force
  Scenario: A key is withdrawn while a failure domain is cut off from the platform
    When the operator adds a key
    Then the host "host-b1" accepts the added key
    Given the platform has the fault '{"refusedFailureDomains": ["b"], "breakWatches": true}'
    When the operator withdraws the added key
    And all faults are removed
    Then every host refuses the added key in 10 consecutive rounds

  @configuration-in-force
  Scenario: Two operators race
    When two operators change the same workspace at the same time
    Then one change succeeds and the other ends with exit code 3 and names both versions
