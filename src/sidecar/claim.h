// A claim of an address: two sidecars of one host that want the same one find it out before either serves,
// and the second is told who has it.
//
// It is a lock on a file in the runtime folder, held by the process: a crash gives it up, whatever the file
// says. The file holds the application's name and the process's number for the message. Two that start in the
// same moment meet at the lock.
#pragma once

#include <string>

namespace fernward::sidecar {

class Claim {
 public:
  // Throws std::runtime_error: somebody has it ("... is claimed by application a (process 12)"), or the
  // folder won't do.
  Claim(const std::string& folder, const std::string& address, const std::string& application);
  ~Claim();
  Claim(const Claim&) = delete;
  Claim& operator=(const Claim&) = delete;

  const std::string& path() const { return path_; }
  bool left_behind() const {
    return left_behind_;
  } // by one that crashed: its router may need a moment to end

 private:
  std::string path_;
  int fd_ = -1;
  bool left_behind_ = false;
};

// Where claims lie if the file names no folder: $XDG_RUNTIME_DIR, else /run/fernward where that is writable,
// else /tmp.
std::string runtime_folder();

} // namespace fernward::sidecar
