;; Operators' settings (--operators deploy/tasklog.scm): one write to the state service records placements and ends of many jobs.
;; Meant for regions with more than about 500 task starts per second (docs/CAPACITY.md). Set this on all controllers; it takes effect
;; once all of them can read such records.
(dapplepick (task-log 1))
