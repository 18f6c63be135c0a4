;; Operators' settings (--operators deploy/tasklog.scm): placements and ends of many jobs share one write to the state service. For
;; regions with more than some 500 task starts a second (docs/CAPACITY.md). Set it on all controllers; it is used once all can read it.
(dapplepick (task-log 1))
