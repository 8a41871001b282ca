#include "app_config/host_checks.h"

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

class HostChecker {
 public:
  HostChecker(LoadedConfig& config, const std::string& file) : config_(config), file_(file) {}

  void check() {
    check_listen_address();
    check_folders();
    check_descriptor_limit();
    check_secret_permissions();
  }

 private:
  void add(toml_document::Diagnostics& diagnostics, const std::string& member, const char* code,
           std::string message) {
    diagnostics.push_back(
        {member_position(config_, member, file_), toml_document::key_of(member), std::move(message), code});
  }
  void add_error(const std::string& member, const char* code, std::string message) {
    add(config_.errors, member, code, std::move(message));
  }

  // Binds the address, as only bind() itself shows reliably whether it is available.
  void check_listen_address() {
    const std::string& listen_address = config_.app.listen_address;
    if (const auto path = config::unix_path(listen_address)) {
      const std::string folder = path->substr(0, path->rfind('/') + 1);
      if (access(folder.c_str(), W_OK | X_OK) != 0) {
        return add_error("listen", "listen-path",
                         "cannot create a socket in " + folder + ": " + std::strerror(errno));
      }
      sockaddr_un address{};
      address.sun_family = AF_UNIX;
      std::memcpy(address.sun_path, path->c_str(), path->size() + 1);
      const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const bool connected = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
      close(fd);
      struct stat status {};
      if (connected)
        return add_error("listen", "listen-taken", "another process already serves this address");
      if (lstat(path->c_str(), &status) == 0 && !S_ISSOCK(status.st_mode)) {
        add_error("listen", "listen-path", "the path exists and is not a socket");
      }
      return;
    }
    sockaddr_in address{};
    if (!config::parse_address(listen_address, address)) return;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enable = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
    const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    const int error_number = errno;
    close(fd);
    if (bound) return;
    if (error_number == EADDRNOTAVAIL)
      return add_error("listen", "listen-elsewhere", "is not an address of this host");
    if (error_number == EADDRINUSE)
      return add_error("listen", "listen-taken", "another process already listens on this address");
    add_error("listen", "listen-refused", std::strerror(error_number));
  }

  void check_folders() {
    const std::string& spill_folder = config_.app.limits.spill_folder;
    if (!spill_folder.empty() && access(spill_folder.c_str(), W_OK | X_OK) != 0) {
      add_error("limits.body_folder", "folder", spill_folder + ": " + std::strerror(errno));
    }
    const std::string& nodes_file = config_.app.fleet.nodes_file;
    if (!nodes_file.empty() && access(nodes_file.c_str(), R_OK) != 0) {
      add(config_.warnings, "fleet.file", "no-file-yet",
          nodes_file + ": " + std::strerror(errno) + ": the router is not ready until the file exists");
    }
    const std::string& runtime_folder = config_.app.application.runtime_folder;
    if (!runtime_folder.empty() && access(runtime_folder.c_str(), W_OK | X_OK) != 0) {
      add_error("application.runtime_folder", "folder", runtime_folder + ": " + std::strerror(errno));
    }
  }

  void check_descriptor_limit() {
    rlimit descriptor_limit{};
    if (getrlimit(RLIMIT_NOFILE, &descriptor_limit) != 0 ||
        descriptor_limit.rlim_max >= config_.app.limits.max_descriptors)
      return;
    add_error("limits.sockets", "descriptors",
              "the system limits this user to " + std::to_string(descriptor_limit.rlim_max) + " descriptors");
  }

  // Reports variables that look like secrets in a file that other users can read.
  void check_secret_permissions() {
    for (const std::string& entry : config_.app.application.environment) {
      std::string name = entry.substr(0, entry.find('='));
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::toupper(c); });
      const bool looks_secret =
          std::any_of(std::begin(kSecretNameParts), std::end(kSecretNameParts),
                      [&](const char* part) { return name.find(part) != std::string::npos; });
      if (!looks_secret) continue;
      const auto position = member_position(config_, "application.environment", file_);
      struct stat status {};
      if (stat(position.file.c_str(), &status) == 0 && (status.st_mode & (S_IRGRP | S_IROTH)) != 0) {
        add_error("application.environment", "secret-readable",
                  name + " looks like a secret, and other users can read this file; use chmod 600 " +
                      position.file);
      }
    }
  }

  static constexpr const char* kSecretNameParts[] = {"PASSWORD", "PASSWD",      "SECRET",
                                                     "TOKEN",    "PRIVATE_KEY", "API_KEY"};
  LoadedConfig& config_;
  const std::string& file_;
};

} // namespace

void check_host(LoadedConfig& config, const std::string& file) {
  HostChecker(config, file).check();
  toml_document::sort_and_limit(config.errors);
  toml_document::sort_and_limit(config.warnings);
}

} // namespace fernward::app_config
