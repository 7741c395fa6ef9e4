// Raw results: one row for each measured value.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <stdexcept>
#include <string>

namespace bellstair::scale {

class Results {
 public:
  explicit Results(const std::string& path) : file_(std::fopen(path.c_str(), "we")) {
    if (file_ == nullptr) throw std::runtime_error("cannot write " + path);
    std::fputs("suite,axis,x,play,role,measure,unit,value\n", file_);
  }
  Results(const Results&) = delete;
  Results& operator=(const Results&) = delete;
  ~Results() { std::fclose(file_); }

  // Where in the table the rows that follow belong.
  void at(std::string suite, std::string axis, double x, unsigned play) {
    suite_ = std::move(suite);
    axis_ = std::move(axis);
    x_ = x;
    play_ = play;
  }
  void row(const char* role, const char* measure, const char* unit, double value) {
    put(axis_, x_, play_, role, measure, unit, value);
  }
  // What stays the same along the axis.
  void fixed(const char* measure, const char* unit, double value) {
    put("fixed", 0, 0, "shape", measure, unit, value);
  }
  // Others use the machine as well: of weight for wall-clock times only.
  void load() {
    double loads[1] = {};
    if (::getloadavg(loads, 1) == 1) row("machine", "load_average", "count", loads[0]);
  }

 private:
  void put(const std::string& axis, double x, unsigned play, const char* role, const char* measure,
           const char* unit, double value) {
    std::fprintf(file_, "%s,%s,%.10g,%u,%s,%s,%s,%.10g\n", suite_.c_str(), axis.c_str(), x, play, role,
                 measure, unit, value);
    std::fflush(file_);
  }
  std::FILE* file_;
  std::string suite_, axis_;
  double x_ = 0;
  unsigned play_ = 0;
};

}  // namespace bellstair::scale
