// An exclusive claim to a listen address. When two sidecars on a host are configured with the same address,
// the second one fails before it serves, with an error that names the owner of the claim.
//
// The claim is a lock on a file in the runtime folder, held by the process: a crash releases it, whatever the
// file contains. The file holds the application's name and the process id for the error message. The lock
// also decides between two sidecars that start at the same moment.
#pragma once

#include <string>

namespace fernward::sidecar {

class AddressClaim {
 public:
  // Throws std::runtime_error if another process holds the claim ("... is claimed by application a
  // (process 12)"), or if the file cannot be created, locked or written in `folder`.
  AddressClaim(const std::string& folder, const std::string& address, const std::string& application);
  ~AddressClaim();
  AddressClaim(const AddressClaim&) = delete;
  AddressClaim& operator=(const AddressClaim&) = delete;

  const std::string& path() const { return path_; }
  // Whether a sidecar that crashed left the claim file behind. Its router may need a moment to end.
  bool left_by_crash() const { return left_by_crash_; }

 private:
  std::string path_;
  int fd_ = -1;
  bool left_by_crash_ = false;
};

// The folder for claims if the configuration names none: $XDG_RUNTIME_DIR, else /run/fernward if that is
// writable, else /tmp.
std::string default_runtime_folder();

} // namespace fernward::sidecar
