;; Operators' settings (--operators deploy/admission.scm): jobs are taken in fairly by team and class, and the state service's writes
;; are divided among all controllers. Set it on all of them.
(dapplepick (fair-admission 1))
