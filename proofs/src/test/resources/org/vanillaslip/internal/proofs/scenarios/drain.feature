Feature: A drained failure domain or server gets no new work while requests go on elsewhere

  @drain-failure-domain
  Scenario: A failure domain is drained and restored
    Given new requests are sent to "service-b"
    When the operator runs "drain domain b"
    And every host has the platform's configuration
    Then the hosts of failure domain "b" are not ready
    And 5 rounds of requests are served and none is sent to "service-b"
    And 5 rounds of requests are served and none is sent to "engine-b"
    When the operator runs "restore domain b"
    And every host has the platform's configuration
    Then new requests are sent to "service-b"

  @drain-server
  Scenario: A model engine is drained and restored
    Given the operator runs "drain server engine-b"
    And every host has the platform's configuration
    And new requests are sent to "engine-a"
    When the operator runs "restore server engine-b"
    And the operator runs "drain server engine-a"
    And every host has the platform's configuration
    Then 5 rounds of requests are served and none is sent to "engine-a"
    When the operator runs "restore server engine-a"
    And the operator runs "drain server engine-b"
    And every host has the platform's configuration
    Then new requests are sent to "engine-a"
    And the operator runs "restore server engine-b"

  @drain-server
  Scenario: A plain service is drained and restored
    Given new requests are sent to "service-a"
    When the operator runs "drain server service-a"
    And every host has the platform's configuration
    Then 5 rounds of requests are served and none is sent to "service-a"
    When the operator runs "restore server service-a"
    And every host has the platform's configuration
    Then new requests are sent to "service-a"
