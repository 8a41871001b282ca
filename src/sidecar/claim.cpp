#include "sidecar/claim.h"

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

constexpr int kRounds = 100;    // attempts, as the file may be removed between opening and locking
constexpr int kWordRounds = 20; // the owner of the lock writes its name a moment after locking
constexpr unsigned kWordUs = 5000;

std::string file_of(const std::string& address) {
  std::string name = address;
  std::replace_if(
      name.begin(), name.end(),
      [](char c) {
        return !((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '.' ||
                 c == '-');
      },
      '_');
  // Addresses that become the same name after replacement or truncation are distinguished by the hash.
  unsigned long long h = 0xcbf29ce484222325ull;
  for (const char c : address) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  if (name.size() > 100) name = name.substr(name.size() - 100);
  return "fernward-" + name + "-" + std::to_string(h % 100000) + ".claim";
}

std::string holder(int fd) {
  char text[256];
  for (int round = 0; round < kWordRounds; ++round) {
    const ssize_t n = pread(fd, text, sizeof text, 0);
    if (n > 0) return {text, static_cast<std::size_t>(n)};
    usleep(kWordUs);
  }
  return "another process";
}

std::string fault(const std::string& path) { return "claim " + path + ": " + std::strerror(errno); }

} // namespace

Claim::Claim(const std::string& folder, const std::string& address, const std::string& application)
    : path_(folder + "/" + file_of(address)) {
  const std::string word = "application " + application + " (process " + std::to_string(getpid()) + ")";
  for (int round = 0; round < kRounds; ++round) {
    const int fd = open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0644);
    if (fd < 0) throw std::runtime_error(fault(path_));
    if (flock(fd, LOCK_EX | LOCK_NB) != 0) {
      const bool taken = errno == EWOULDBLOCK;
      const std::string who = taken ? holder(fd) : fault(path_);
      close(fd);
      throw std::runtime_error(taken ? address + " is claimed by " + who + ", see " + path_ : who);
    }
    // The previous owner may have removed the file after it was opened here. The lock is then on a file that
    // no other process can open, so the claim is tried again.
    struct stat locked {
    }, there{};
    if (fstat(fd, &locked) != 0 || stat(path_.c_str(), &there) != 0 || locked.st_ino != there.st_ino ||
        locked.st_dev != there.st_dev) {
      close(fd);
      continue;
    }
    left_behind_ = locked.st_size > 0;
    if (ftruncate(fd, 0) != 0 ||
        pwrite(fd, word.data(), word.size(), 0) != static_cast<ssize_t>(word.size())) {
      const std::string why = fault(path_);
      close(fd);
      throw std::runtime_error(why);
    }
    fd_ = fd;
    return;
  }
  throw std::runtime_error("claim " + path_ + ": the file was removed during every attempt to lock it");
}

Claim::~Claim() {
  if (fd_ < 0) return;
  unlink(path_.c_str()); // while the lock is held, so that no other process's file is removed
  close(fd_);
}

std::string runtime_folder() {
  const char* own = std::getenv("XDG_RUNTIME_DIR");
  if (own != nullptr && *own == '/' && access(own, W_OK | X_OK) == 0) return own;
  return access("/run/fernward", W_OK | X_OK) == 0 ? "/run/fernward" : "/tmp";
}

} // namespace fernward::sidecar
