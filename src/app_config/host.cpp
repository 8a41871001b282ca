#include "app_config/host.h"

#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>

#include "config/address.h"
#include "toml_document/visitor.h"

namespace fernward::app_config {
namespace {

class Host {
 public:
  Host(Setup& setup, const std::string& file) : setup_(setup), file_(file) {}

  void run() {
    listen();
    folders();
    limits();
    secrets();
  }

 private:
  void add(toml_document::Faults& to, const std::string& member, const char* code, std::string why) {
    to.push_back({place_of(setup_, member, file_), toml_document::key_of(member), std::move(why), code});
  }
  void fault(const std::string& member, const char* code, std::string why) {
    add(setup_.faults, member, code, std::move(why));
  }

  // Binds the address, as only bind() itself shows reliably whether it is available.
  void listen() {
    const std::string& text = setup_.app.listen;
    if (const auto path = config::unix_path(text)) {
      const std::string folder = path->substr(0, path->rfind('/') + 1);
      if (access(folder.c_str(), W_OK | X_OK) != 0) {
        return fault("listen", "listen-path",
                     "cannot create a socket in " + folder + ": " + std::strerror(errno));
      }
      sockaddr_un where{};
      where.sun_family = AF_UNIX;
      std::memcpy(where.sun_path, path->c_str(), path->size() + 1);
      const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const bool taken = connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0;
      close(fd);
      struct stat there {};
      if (taken) return fault("listen", "listen-taken", "another process already serves this address");
      if (lstat(path->c_str(), &there) == 0 && !S_ISSOCK(there.st_mode)) {
        fault("listen", "listen-path", "the path exists and is not a socket");
      }
      return;
    }
    sockaddr_in where{};
    if (!config::parse_address(text, where)) return;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0;
    const int why = errno;
    close(fd);
    if (bound) return;
    if (why == EADDRNOTAVAIL) return fault("listen", "listen-elsewhere", "is not an address of this host");
    if (why == EADDRINUSE)
      return fault("listen", "listen-taken", "another process already listens on this address");
    fault("listen", "listen-refused", std::strerror(why));
  }

  void folders() {
    const std::string& bodies = setup_.app.limits.body_folder;
    if (!bodies.empty() && access(bodies.c_str(), W_OK | X_OK) != 0) {
      fault("limits.body_folder", "folder", bodies + ": " + std::strerror(errno));
    }
    const std::string& nodes = setup_.app.fleet.file;
    if (!nodes.empty() && access(nodes.c_str(), R_OK) != 0) {
      add(setup_.warnings, "fleet.file", "no-file-yet",
          nodes + ": " + std::strerror(errno) + ": the router is not ready until the file exists");
    }
    const std::string& claims = setup_.app.application.runtime_folder;
    if (!claims.empty() && access(claims.c_str(), W_OK | X_OK) != 0) {
      fault("application.runtime_folder", "folder", claims + ": " + std::strerror(errno));
    }
  }

  void limits() {
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) != 0 || files.rlim_max >= setup_.app.limits.sockets) return;
    fault("limits.sockets", "descriptors",
          "the system limits this user to " + std::to_string(files.rlim_max) + " descriptors");
  }

  // Reports variables that look like secrets in a file that other users can read.
  void secrets() {
    for (const std::string& entry : setup_.app.application.environment) {
      std::string name = entry.substr(0, entry.find('='));
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::toupper(c); });
      const bool secret = std::any_of(std::begin(kSecrets), std::end(kSecrets),
                                      [&](const char* word) { return name.find(word) != std::string::npos; });
      if (!secret) continue;
      const auto at = place_of(setup_, "application.environment", file_);
      struct stat there {};
      if (stat(at.file.c_str(), &there) == 0 && (there.st_mode & (S_IRGRP | S_IROTH)) != 0) {
        fault("application.environment", "secret-readable",
              name + " looks like a secret, and other users can read this file; use chmod 600 " + at.file);
      }
    }
  }

  static constexpr const char* kSecrets[] = {"PASSWORD", "PASSWD",      "SECRET",
                                             "TOKEN",    "PRIVATE_KEY", "API_KEY"};
  Setup& setup_;
  const std::string& file_;
};

} // namespace

void check_host(Setup& setup, const std::string& file) {
  Host(setup, file).run();
  toml_document::tidy(setup.faults);
  toml_document::tidy(setup.warnings);
}

} // namespace fernward::app_config
