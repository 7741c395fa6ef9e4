// How costs grow with the deployment's size: slopes FILE [quick] [hollow|real]
#include "slopes.hpp"

#include <cstdio>
#include <cstring>
#include <exception>

int main(int argc, char** argv) {
  using namespace bellstair::scale;
  if (argc < 2) {
    std::fputs("usage: slopes FILE [quick] [hollow|real]\n", stderr);
    return 2;
  }
  Options options;
  bool hollow = true, real = true;
  for (int i = 2; i < argc; ++i) {
    if (std::strcmp(argv[i], "quick") == 0) options.quick = true, options.plays = 1;
    if (std::strcmp(argv[i], "hollow") == 0) real = false;
    if (std::strcmp(argv[i], "real") == 0) hollow = false;
  }
  try {
    Results results(argv[1]);
    if (real) real_slopes(options, results);
    if (hollow) hollow_slopes(options, results);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "slopes: %s\n", error.what());
    return 1;
  }
  std::printf("results: %s\n", argv[1]);
  return 0;
}
