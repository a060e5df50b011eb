Feature: A key reaches no backend server, and a withdrawn key stops working on all hosts

  @key-isolation
  Scenario Outline: The key is in every place that a caller can reach, on route <route>
    When a caller puts its key into all headers, the cookie and the query of "<route>"
    Then no backend server received the key

    Examples:
      | route         |
      | /quotes/quick |
      | /press-slots  |

  @key-isolation
  Scenario: The key is withdrawn while streams run on all hosts
    Given a key that only this scenario uses
    When a long stream with the key runs on every host
    And the operator withdraws the key
    Then every stream ends early and without a complete answer
    And every host refuses the key
