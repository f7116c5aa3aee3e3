package settings

// Example is a complete settings file. It passes the check if the files that it
// names exist and hold valid secrets.
const Example = `[host]
id = "entry-1"
region = "suva"
failure_domain = "suva-a"

[listen]
caller = "10.0.0.1:8080"
admin = "10.0.0.1:8081"
peer = "10.0.0.1:8082"

[platform]
base_url = "http://10.0.9.1:9000"

[peers]
key_files = ["/run/secrets/peer.key"]
seeds = ["entry-2=10.0.0.2:8082", "entry-3=10.0.0.3:8082"]

[admin]
read_token_file = "/run/secrets/read.token"
write_token_file = "/run/secrets/write.token"

[limits]
lame_duck_ms = 5000
`
