;; Operators' settings (--operators deploy/admission.scm): jobs are admitted fairly by team and class, a plan divides the state
;; service's writes among all controllers, and jobs of a team and class that had less than the minimum share (floor-share) are
;; placed first. Set this on all controllers.
(dapplepick (fair-admission 1) (floor-share 0.25))
