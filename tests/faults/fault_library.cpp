// A library that is preloaded into the program under test (LD_PRELOAD). It makes system calls fail as Linux
// documents, at the rates of a FaultPlan, and shifts the wall clock. Without a plan it changes no call.
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

// Set before main(). The clock may be read earlier and is not shifted then.
FaultPlan* plan = nullptr;
__attribute__((constructor)) void load_plan() { plan = map_plan(); }

template <class Function>
Function real_function(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

// Returns a pseudorandom number for a call, from the plan's seed and the number of the call, so that it is
// repeatable if the calls are.
std::uint64_t draw(std::uint64_t number, std::uint64_t salt) {
  std::uint64_t x = plan->seed + (number + 1) * 0x9e3779b97f4a7c15ULL + salt * 0xd1342543de82ef95ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// Returns the error to inject into this call, or 0 for none.
int draw_error(FaultyCall call) {
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
  const int error = draw_error(call);
  if (error != 0) errno = error;
  return error != 0;
}

// Returns how many bytes of `size` this call transfers.
std::size_t transfer_size(FaultyCall call, std::size_t size) {
  if (plan == nullptr || size < 2) return size;
  auto& rule = plan->rule(call);
  const std::uint32_t one_in = rule.one_short_in;
  const auto number = rule.calls.load();
  if (one_in == 0 || draw(number, 200) % one_in != 0) return size;
  return 1 + draw(number, 201) % (size - 1);
}

bool is_regular_file(int fd) {
  struct stat status {};
  return ::fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}
}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const auto real = real_function<decltype(&accept4)>("accept4");
  return fails(FaultyCall::accept) ? -1 : real(fd, address, size, flags);
}

// The system continues an interrupted connect(): the caller must wait for it to complete, not call it again.
int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto real = real_function<decltype(&connect)>("connect");
  const int error = draw_error(FaultyCall::connect);
  if (error == 0) return real(fd, address, size);
  if (error == EINTR) real(fd, address, size);
  errno = error;
  return -1;
}

int socket(int domain, int type, int protocol) {
  static const auto real = real_function<decltype(&socket)>("socket");
  return fails(FaultyCall::socket) ? -1 : real(domain, type, protocol);
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  static const auto real = real_function<decltype(&send)>("send");
  if (fails(FaultyCall::send)) return -1;
  return real(fd, bytes, transfer_size(FaultyCall::send, size), flags);
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
  static const auto real = real_function<decltype(&recv)>("recv");
  if ((flags & MSG_PEEK) != 0) return real(fd, bytes, size, flags);
  if (fails(FaultyCall::receive)) return -1;
  return real(fd, bytes, transfer_size(FaultyCall::receive, size), flags);
}

int epoll_wait(int fd, epoll_event* events, int max_events, int timeout) {
  static const auto real = real_function<decltype(&epoll_wait)>("epoll_wait");
  return fails(FaultyCall::wait) ? -1 : real(fd, events, max_events, timeout);
}

int epoll_ctl(int fd, int operation, int target, epoll_event* event) {
  static const auto real = real_function<decltype(&epoll_ctl)>("epoll_ctl");
  if (operation != EPOLL_CTL_DEL && fails(FaultyCall::control)) return -1;
  return real(fd, operation, target, event);
}

int open(const char* path, int flags, ...) {
  static const auto real = real_function<int (*)(const char*, int, ...)>("open");
  mode_t mode = 0;
  if ((flags & O_CREAT) != 0) {
    va_list arguments;
    va_start(arguments, flags);
    mode = va_arg(arguments, mode_t);
    va_end(arguments);
  }
  if (std::strcmp(path, "/dev/null") == 0 && fails(FaultyCall::open_null)) return -1;
  return real(path, flags, mode);
}

ssize_t write(int fd, const void* bytes, size_t size) {
  static const auto real = real_function<decltype(&write)>("write");
  if (plan == nullptr || !is_regular_file(fd)) return real(fd, bytes, size);
  if (fails(FaultyCall::write_file)) return -1;
  return real(fd, bytes, transfer_size(FaultyCall::write_file, size));
}

int fsync(int fd) {
  static const auto real = real_function<decltype(&fsync)>("fsync");
  return fails(FaultyCall::sync) ? -1 : real(fd);
}

int fdatasync(int fd) {
  static const auto real = real_function<decltype(&fdatasync)>("fdatasync");
  return fails(FaultyCall::sync) ? -1 : real(fd);
}

int rename(const char* from, const char* to) {
  static const auto real = real_function<decltype(&rename)>("rename");
  return fails(FaultyCall::rename) ? -1 : real(from, to);
}

int clock_gettime(clockid_t clock, timespec* out) {
  const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, out));
  if (result != 0 || plan == nullptr || clock != CLOCK_REALTIME) return result;
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
