Feature: How much each caller gets
  Slots are divided by plan, no region is overloaded by others, and a
  request that did not run is not charged.

  Scenario: Overload with three plans
    Given an instance with 4 slots and plans of weight 1, 2 and 4
    When 20 clients of each plan send requests for 40 seconds
    Then the answers are divided by weight 1, 2 and 4
    And every refusal names the plan and a retry time
    And no slot is in use

  Scenario: An unused share goes to others until its plan needs it
    Given an instance with 4 slots and plans of weight 1, 2 and 4
    When 20 clients of plans 0 and 1 send requests for 20 seconds
    Then the answers are divided by weight 1, 2 and 0
    When 20 clients of each plan send requests for 20 seconds
    Then the answers are divided by weight 1, 2 and 4

  Scenario: A rate holds over several instances, also in a partition
    Given 8 instances and a plan of 400 requests a second
    When a caller sends 500 a second to one instance for 10 seconds
    Then at least 85 percent of the rate was admitted
    When the instance is partitioned from all others
    And a caller sends 500 a second to every instance for 10 seconds
    Then no window exceeds the rate and the burst
    And at least 95 percent of the rate was admitted
    When the partition ends
    And a caller sends 500 a second to one instance for 4 seconds
    And a caller sends 500 a second to one instance for 10 seconds
    Then at least 85 percent of the rate was admitted
    And no window exceeds the rate and the burst

  Scenario: A plan is changed during a partition
    Given 8 instances and a plan of 400 requests a second
    When a caller sends 500 a second to one instance for 5 seconds
    And the instance is partitioned from all others
    And the plan falls to 80 a second everywhere else
    And a caller sends 500 a second to every instance for 5 seconds
    Then no window exceeds the rate and the burst
    When the partition ends
    And the plan falls to 80 a second at the instance
    And a caller sends 500 a second to every instance for 5 seconds
    Then no window after the change exceeds the lower rate and burst

  Scenario: Traffic shifted from a failed region stays under the cap
    Given an instance with a shift cap of 25 requests a window
    When 30 requests a second arrive from a failed region for 60 seconds
    Then no window admits over 25 more than the window before
    And at least 25 requests were admitted in the first window
    And the last window admits at least 100 requests
    And all other requests were refused with reason shift-cap

  Scenario: A retry storm
    Given a retry budget
    When 5000 requests fail on all of their attempts
    Then there were at most 1.1 attempts for each request

  Scenario: A deadline passes in the queue
    Given an instance with 1 slots and plans of weight 1, 2 and 4
    When a request holds the only slot
    And a request with a deadline of 300 ms waits
    Then it is refused after 300 ms with reason deadline-exceeded
    And its caller was not charged

  Scenario: A caller disconnects
    Given an instance with 1 slots and plans of weight 1, 2 and 4
    When a request holds the only slot
    And a caller disconnects while its request waits
    And a caller disconnects at the moment it gets the slot
    Then the next request gets the slot
    And no caller that disconnected was charged
