Feature: A planned stop interrupts no request

  @graceful-stop @not-run-is-true
  Scenario: A host is stopped during streams
    When 3 streams run on "host-a1"
    And the host "host-a1" gets SIGTERM
    Then the host "host-a1" turns not ready while it still answers
    And the host "host-a1" refuses new requests as not run
    And every stream is complete
    And the host "host-a1" ends by itself with exit code 0

  @graceful-stop
  Scenario: All hosts are replaced under load
    When every host is replaced one after the other under load
    Then no request was interrupted
