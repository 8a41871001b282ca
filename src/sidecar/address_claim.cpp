#include "sidecar/address_claim.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace fernward::sidecar {
namespace {

constexpr int kMaxClaimAttempts = 100; // attempts, as the file may be removed between opening and locking
constexpr int kMaxOwnerReads = 20;     // the owner of the lock writes its name a moment after locking
constexpr unsigned kOwnerReadIntervalUs = 5000;

std::string claim_file_name(const std::string& address) {
  std::string name = address;
  std::replace_if(
      name.begin(), name.end(),
      [](char c) {
        return !((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '.' ||
                 c == '-');
      },
      '_');
  // Addresses that become the same name after replacement or truncation are distinguished by the hash.
  unsigned long long hash = 0xcbf29ce484222325ull;
  for (const char c : address) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  if (name.size() > 100) name = name.substr(name.size() - 100);
  return "fernward-" + name + "-" + std::to_string(hash % 100000) + ".claim";
}

std::string read_owner(int fd) {
  char text[256];
  for (int attempt = 0; attempt < kMaxOwnerReads; ++attempt) {
    const ssize_t byte_count = pread(fd, text, sizeof text, 0);
    if (byte_count > 0) return {text, static_cast<std::size_t>(byte_count)};
    usleep(kOwnerReadIntervalUs);
  }
  return "another process";
}

std::string claim_error(const std::string& path) { return "claim " + path + ": " + std::strerror(errno); }

} // namespace

AddressClaim::AddressClaim(const std::string& folder, const std::string& address,
                           const std::string& application)
    : path_(folder + "/" + claim_file_name(address)) {
  const std::string owner = "application " + application + " (process " + std::to_string(getpid()) + ")";
  for (int attempt = 0; attempt < kMaxClaimAttempts; ++attempt) {
    const int fd = open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0644);
    if (fd < 0) throw std::runtime_error(claim_error(path_));
    if (flock(fd, LOCK_EX | LOCK_NB) != 0) {
      const bool is_locked = errno == EWOULDBLOCK;
      const std::string owner_or_error = is_locked ? read_owner(fd) : claim_error(path_);
      close(fd);
      throw std::runtime_error(is_locked ? address + " is claimed by " + owner_or_error + ", see " + path_
                                         : owner_or_error);
    }
    // The previous owner may have removed the file after it was opened here. The lock is then on a file that
    // no other process can open, so the claim is tried again.
    struct stat locked_file {
    }, current_file{};
    if (fstat(fd, &locked_file) != 0 || stat(path_.c_str(), &current_file) != 0 ||
        locked_file.st_ino != current_file.st_ino || locked_file.st_dev != current_file.st_dev) {
      close(fd);
      continue;
    }
    left_by_crash_ = locked_file.st_size > 0;
    if (ftruncate(fd, 0) != 0 ||
        pwrite(fd, owner.data(), owner.size(), 0) != static_cast<ssize_t>(owner.size())) {
      const std::string error = claim_error(path_);
      close(fd);
      throw std::runtime_error(error);
    }
    fd_ = fd;
    return;
  }
  throw std::runtime_error("claim " + path_ + ": the file was removed during every attempt to lock it");
}

AddressClaim::~AddressClaim() {
  if (fd_ < 0) return;
  unlink(path_.c_str()); // while the lock is held, so that no other process's file is removed
  close(fd_);
}

std::string default_runtime_folder() {
  const char* xdg_folder = std::getenv("XDG_RUNTIME_DIR");
  if (xdg_folder != nullptr && *xdg_folder == '/' && access(xdg_folder, W_OK | X_OK) == 0) return xdg_folder;
  return access("/run/fernward", W_OK | X_OK) == 0 ? "/run/fernward" : "/tmp";
}

} // namespace fernward::sidecar
