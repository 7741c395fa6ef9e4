// A library to preload into the program under test (LD_PRELOAD): system calls fail as Linux documents, at the
// rates of a FaultPlan, and the wall clock is shifted. Without a plan every call passes through.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <ctime>

#include "fault_plan.hpp"

namespace {
using bellstair::test::FaultPlan;
using bellstair::test::FaultRule;
using bellstair::test::FaultyCall;

FaultPlan* map_plan() {
  const char* path = std::getenv(bellstair::test::kFaultPlanVariable);
  if (path == nullptr) return nullptr;
  const auto fd = static_cast<int>(::syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC, 0));
  if (fd < 0) return nullptr;
  void* at = ::mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  ::syscall(SYS_close, fd);
  return at == MAP_FAILED ? nullptr : static_cast<FaultPlan*>(at);
}

// Set before main(); the clock may be asked earlier, when nothing is shifted yet.
FaultPlan* plan = nullptr;
__attribute__((constructor)) void load_plan() { plan = map_plan(); }

template <class Function>
Function next(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

// A draw per call, from the plan's seed and the number of the call: repeatable where calls are.
std::uint64_t draw(std::uint64_t number, std::uint64_t salt) {
  std::uint64_t x = plan->seed + (number + 1) * 0x9e3779b97f4a7c15ULL + salt * 0xd1342543de82ef95ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// The error of this call, or 0: it passes.
int error_of(FaultyCall call) {
  if (plan == nullptr) return 0;
  auto& rule = plan->rule(call);
  const auto number = rule.calls++;
  const std::uint32_t one_in = rule.one_in;
  const std::uint32_t count = rule.error_count;
  const auto salt = static_cast<std::uint64_t>(call);
  if (one_in == 0 || count == 0 || draw(number, salt) % one_in != 0) return 0;
  ++rule.injected;
  return rule.errors[draw(number, salt + 100) % count];
}

bool fails(FaultyCall call) {
  const int error = error_of(call);
  if (error != 0) errno = error;
  return error != 0;
}

// The part of a transfer that this call makes.
std::size_t part_of(FaultyCall call, std::size_t size) {
  if (plan == nullptr || size < 2) return size;
  auto& rule = plan->rule(call);
  const std::uint32_t one_in = rule.one_short_in;
  const auto number = rule.calls.load();
  if (one_in == 0 || draw(number, 200) % one_in != 0) return size;
  return 1 + draw(number, 201) % (size - 1);
}

bool regular_file(int fd) {
  struct stat is {};
  return ::fstat(fd, &is) == 0 && S_ISREG(is.st_mode);
}
}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const auto real = next<decltype(&accept4)>("accept4");
  return fails(FaultyCall::accept) ? -1 : real(fd, address, size, flags);
}

// An interrupted connect() goes on: the caller has to wait for its end, not to call it again.
int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto real = next<decltype(&connect)>("connect");
  const int error = error_of(FaultyCall::connect);
  if (error == 0) return real(fd, address, size);
  if (error == EINTR) real(fd, address, size);
  errno = error;
  return -1;
}

int socket(int domain, int type, int protocol) {
  static const auto real = next<decltype(&socket)>("socket");
  return fails(FaultyCall::socket) ? -1 : real(domain, type, protocol);
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  static const auto real = next<decltype(&send)>("send");
  if (fails(FaultyCall::send)) return -1;
  return real(fd, bytes, part_of(FaultyCall::send, size), flags);
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
  static const auto real = next<decltype(&recv)>("recv");
  if ((flags & MSG_PEEK) != 0) return real(fd, bytes, size, flags);
  if (fails(FaultyCall::receive)) return -1;
  return real(fd, bytes, part_of(FaultyCall::receive, size), flags);
}

int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
  static const auto real = next<decltype(&epoll_wait)>("epoll_wait");
  return fails(FaultyCall::wait) ? -1 : real(fd, events, most, timeout);
}

int epoll_ctl(int fd, int operation, int target, epoll_event* event) {
  static const auto real = next<decltype(&epoll_ctl)>("epoll_ctl");
  if (operation != EPOLL_CTL_DEL && fails(FaultyCall::control)) return -1;
  return real(fd, operation, target, event);
}

int open(const char* path, int flags, ...) {
  static const auto real = next<int (*)(const char*, int, ...)>("open");
  mode_t mode = 0;
  if ((flags & O_CREAT) != 0) {
    va_list more;
    va_start(more, flags);
    mode = va_arg(more, mode_t);
    va_end(more);
  }
  if (std::strcmp(path, "/dev/null") == 0 && fails(FaultyCall::open_null)) return -1;
  return real(path, flags, mode);
}

ssize_t write(int fd, const void* bytes, size_t size) {
  static const auto real = next<decltype(&write)>("write");
  if (plan == nullptr || !regular_file(fd)) return real(fd, bytes, size);
  if (fails(FaultyCall::write_file)) return -1;
  return real(fd, bytes, part_of(FaultyCall::write_file, size));
}

int fsync(int fd) {
  static const auto real = next<decltype(&fsync)>("fsync");
  return fails(FaultyCall::sync) ? -1 : real(fd);
}

int fdatasync(int fd) {
  static const auto real = next<decltype(&fdatasync)>("fdatasync");
  return fails(FaultyCall::sync) ? -1 : real(fd);
}

int rename(const char* from, const char* to) {
  static const auto real = next<decltype(&rename)>("rename");
  return fails(FaultyCall::rename) ? -1 : real(from, to);
}

int clock_gettime(clockid_t clock, timespec* out) {
  const auto got = static_cast<int>(::syscall(SYS_clock_gettime, clock, out));
  if (got != 0 || plan == nullptr || clock != CLOCK_REALTIME) return got;
  constexpr std::int64_t kSecond = 1'000'000'000;
  const std::int64_t now = out->tv_sec * kSecond + out->tv_nsec + plan->wall_clock_offset_ns;
  out->tv_sec = now / kSecond;
  out->tv_nsec = now % kSecond;
  return 0;
}

int gettimeofday(timeval* out, void*) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (out != nullptr) *out = {now.tv_sec, now.tv_nsec / 1000};
  return 0;
}

}  // extern "C"
