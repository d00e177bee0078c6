Feature: An agent reports load and cached prefixes as they are

  Guards against hints of prefixes that are gone.

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
