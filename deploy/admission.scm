;; Operators' settings (--operators deploy/admission.scm): jobs are taken in fairly by team and class, and the state service's writes
;; are divided among all controllers by a plan, and a team or class that had less than its floor gets the next room. Set it on all of them.
(dapplepick (fair-admission 1) (floor-share 0.25))
