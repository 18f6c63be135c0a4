; A control service for one machine, or for agents on many: dapplepick control deploy/control.scm
(control
  (listen "127.0.0.1:8080")          ; loopback only, unless told otherwise
  (directory "var/control")          ; the store
  (zones here)
  (report-s 2)
  (lease-s 600)                      ; tasks go on for so long while the control service is away
  (matching true)                    ; jobs may look at machines' attributes: requirements, rank
  (team default)
  (class demo (sleep-s 2)))          ; what tasks of jobs without a command do
