Feature: An agent reports the current load and cached prefixes

  Guards against hints of prefixes that the engine has evicted.

  Scenario: A missed event makes earlier hints uncertain, not later ones
    Then the events result in these hints
      | engine | events       | certain | reported |
      | e1     | 0+a 1+b 2+c  | abc     | cba      |
      | e1     | 3-b          | ac      | ca       |
      | e1     | 5+d          | d       | dca      |
      | e1     | 4+x 6+a      | ad      | adc      |
      | e2     | 0+z          | z       | z        |
      | late   | 1+q          | z       | z        |

  Scenario: A report contains only the most recently used hints
    Then of 100 stored prefixes the newest 48 are reported, and uncertain ones for 60 seconds

  Scenario: The number of free slots respects the cold limit and a drain
    Then a summary has 19 free slots at the full limit, 0 at limit 1 and 0 when draining
