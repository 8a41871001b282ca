#include "lab/shared/stream.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <new>

#include "loop/net.h"

namespace fernward::rig {
namespace {

constexpr std::size_t kRead = 64 * 1024;

bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

int socket_error(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

} // namespace

Stream::Stream(event_base* base, int fd, User& user)
    : base_(base),
      fd_(fd),
      user_(user),
      up_(true),
      reads_(event_new(base, fd, EV_READ | EV_PERSIST, &Stream::readable, this)),
      writes_(event_new(base, fd, EV_WRITE, &Stream::writable, this)) {
  if (reads_ == nullptr || writes_ == nullptr) throw std::bad_alloc();
  loop::set_nodelay(fd);
  event_add(reads_.get(), nullptr);
}

std::unique_ptr<Stream> Stream::connect(event_base* base, const sockaddr_in& to, User& user) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  auto stream = std::make_unique<Stream>(base, fd, user);
  stream->up_ = false;
  event_del(stream->reads_.get());
  // The result is reported from the loop in any case: a refusal stays in SO_ERROR or shows in getpeername().
  const int said = ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  if (said != 0 && errno != EINPROGRESS) shutdown(fd, SHUT_RDWR);
  event_add(stream->writes_.get(), nullptr);
  return stream;
}

Stream::~Stream() {
  reads_.reset();
  writes_.reset();
  close(fd_);
}

bool Stream::send(std::string_view bytes) {
  if (!unsent_.empty() || !up_) {
    unsent_.append(bytes);
    return true;
  }
  const ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && !would_block(errno)) return false;
  bytes.remove_prefix(sent < 0 ? 0 : static_cast<std::size_t>(sent));
  if (bytes.empty()) return true;
  unsent_.assign(bytes);
  event_add(writes_.get(), nullptr);
  return true;
}

void Stream::pause() { event_del(reads_.get()); }
void Stream::resume() {
  if (up_) event_add(reads_.get(), nullptr);
}
bool Stream::quiet() const { return loop::peek(fd_) == loop::Peek::NoData; }
void Stream::finish() { shutdown(fd_, SHUT_WR); }
void Stream::reset_on_close() {
  const linger now{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

void Stream::readable(int, short, void* self) { static_cast<Stream*>(self)->read_event(); }
void Stream::writable(int, short, void* self) { static_cast<Stream*>(self)->write_event(); }

// Handler calls come last, as the handler may destroy the stream.
void Stream::read_event() {
  thread_local std::array<char, kRead> buffer;
  const ssize_t got = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (got > 0) return user_.bytes({buffer.data(), static_cast<std::size_t>(got)});
  if (got < 0 && would_block(errno)) return;
  const int error = got < 0 ? errno : 0;
  event_del(reads_.get());
  user_.end(error);
}

void Stream::write_event() {
  if (!up_) {
    const int error = socket_error(fd_);
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (error != 0 || getpeername(fd_, reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
      return user_.end(error != 0 ? error : ECONNREFUSED);
    }
    up_ = true;
    event_add(reads_.get(), nullptr);
    std::string waiting;
    waiting.swap(unsent_);
    if (!waiting.empty()) send(waiting);
    return user_.up();
  }
  const ssize_t sent = ::send(fd_, unsent_.data(), unsent_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && !would_block(errno)) {
    unsent_.clear(); // the close is detected by the read event
    return;
  }
  unsent_.erase(0, sent < 0 ? 0 : static_cast<std::size_t>(sent));
  if (!unsent_.empty()) event_add(writes_.get(), nullptr);
}

} // namespace fernward::rig
