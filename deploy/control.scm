; A control service for one machine, or for agents on many: dapplepick control deploy/control.scm
(control
  (listen "127.0.0.1:8080")          ; loopback only: agents on other machines need another address
  (directory "var/control")          ; where the store keeps its data
  (zones here)
  (report-s 2)
  (lease-s 600)                      ; how long tasks keep running while the control service is unavailable
  (matching true)                    ; jobs may select machines by their attributes (requirements, rank)
  (team default)
  (class demo (sleep-s 2)))          ; what the tasks of jobs without a command simulate
