@control
Feature: Reclaims

  Scenario: Fates follow time left, loss, room and zone
    Given importers "b-1,b-2" with room for 20000 tokens each
    Then a request that ends in time finishes in place
    And one without tokens or with a small KV cache is handed over at once
    And the costliest losses are moved first and the rest is handed over
    And a request that would miss its deadline goes before a larger one
    And nothing is moved later than the margin before the reclaim

  Scenario: 200 running drafts and a notice of 5 s
    Given importers "b-1,b-2,c-1,c-2" with room for 200000 tokens each
    Then of 200 drafts the moves fit the links and keep the largest losses

  Scenario: Every request is settled once, whatever fails
    Then in 80 seeded reclaims with dying importers, waves and lost steps
    And each request finishes, is resumed or handed over once per engine
    And no import goes to an engine under notice or to one that failed it

  Scenario: Another process goes on from the recorded moves
    Given a move that was exported by a process that then died
    Then the next process imports the same handle and resumes there

  Scenario: Importers leave out zones under notice and engines that leave
    Then only engines of the same version outside noticed zones can import

  Scenario: Notices are recorded once, fenced, and taken up by the next holder
    Given a control holder that recorded a notice for "a"
    Then the same or a later time writes nothing and an earlier one does
    And a holder that lost the lease can't write
    And the next holder finds it and calls it off or deletes it in time
