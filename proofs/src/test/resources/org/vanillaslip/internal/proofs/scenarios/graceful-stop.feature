Feature: A planned stop interrupts no request

  @graceful-stop @not-run-is-true
  Scenario: A host is stopped during streams
    When 3 streams run on "host-a1"
    And the host "host-a1" receives SIGTERM
    Then the host "host-a1" reports not ready while it still responds
    And the host "host-a1" refuses new requests with "not run"
    And every stream is complete
    And the host "host-a1" exits without being killed, with exit code 0

  @graceful-stop
  Scenario: All hosts are replaced under load
    When the hosts are replaced one after the other under load
    Then no request was interrupted
