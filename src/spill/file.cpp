#include "spill/file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>

#include "log/log.h"

namespace fernward::spill {

std::unique_ptr<File> Folder::create() {
  int fd = open(path_.c_str(), O_TMPFILE | O_RDWR | O_CLOEXEC, 0600);
  if (fd < 0 && (errno == EOPNOTSUPP || errno == EISDIR || errno == EINVAL)) { // not on every file system
    std::string name = path_ + "/fernward-XXXXXX";
    fd = mkostemp(name.data(), O_CLOEXEC);
    if (fd >= 0) unlink(name.c_str());
  }
  if (fd < 0) {
    tell(false, "cannot create a file");
    return nullptr;
  }
  return std::unique_ptr<File>(new File(*this, fd));
}

void Folder::tell(bool works, const char* what) {
  if (works == !fails_) return;
  fails_ = !works;
  if (works) {
    log::line("body-folder-works", {{"path", path_}});
  } else { // bodies that need the folder are forwarded without being retained
    log::line("body-folder-fails", {{"path", path_}, {"what", what}, {"why", std::strerror(errno)}});
  }
}

File::~File() { close(fd_); }

bool File::append(std::string_view bytes) {
  std::size_t out = 0;
  while (out < bytes.size()) {
    const auto n = pwrite(fd_, bytes.data() + out, bytes.size() - out, static_cast<off_t>(size_ + out));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) { // after a short write the remaining bytes are written again, which reports the error here
      folder_.tell(false, "cannot write a file");
      return false;
    }
    out += static_cast<std::size_t>(n);
  }
  size_ += out;
  folder_.tell(true, "");
  return true;
}

std::size_t File::read(std::uint64_t at, char* into, std::size_t most) const {
  if (at >= size_) return 0;
  most = static_cast<std::size_t>(std::min<std::uint64_t>(most, size_ - at));
  for (;;) {
    const auto n = pread(fd_, into, most, static_cast<off_t>(at));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) folder_.tell(false, "cannot read a file");
    return n > 0 ? static_cast<std::size_t>(n) : 0;
  }
}

} // namespace fernward::spill
