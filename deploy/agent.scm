; An agent: dapplepick agent run deploy/agent.scm
(agent
  (name "desk-1")
  (control "127.0.0.1:8080")
  (directory "var/desk-1")
  (zone here)
  (attribute has-scanner false))     ; cpus and mem-gb default to those of the machine
