Feature: An agent reports crashes, load and cached prefixes as they are

  Guards against a request that crashes one engine after the other unseen,
  innocent requests that stay suspect, and hints of prefixes that are gone.

  Scenario: All that ran in a crash is suspect and runs alone, one by one
    Then requests "abc" in one crash are suspects and run alone in this order

  Scenario: A crash alone is told apart, a success clears
    Then "a" that crashes alone has 2 crashes with 1 alone, and "b" is cleared by its success

  Scenario: One crash that is noticed twice counts once
    Then a second report of the same crash changes nothing

  Scenario: The memory of crashes is bounded
    Then of 5 suspects 3 are remembered, and none after an hour

  Scenario: A missed event makes earlier hints uncertain, not later ones
    Then hints follow the events so
      | engine | events       | certain | reported |
      | e1     | 0+a 1+b 2+c  | abc     | cba      |
      | e1     | 3-b          | ac      | ca       |
      | e1     | 5+d          | d       | dca      |
      | e1     | 4+x 6+a      | ad      | adc      |
      | e2     | 0+z          | z       | z        |
      | late   | 1+q          | z       | z        |

  Scenario: The report holds the most recently used hints only
    Then of 100 stored prefixes the newest 48 are reported, and uncertain ones for 60 seconds

  Scenario: Free slots count what the cold limit leaves
    Then a summary has 19 free slots at the full limit, 0 at limit 1 and 0 when draining
