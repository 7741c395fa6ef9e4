#include "hooks/lua_prelude.hpp"

namespace bellstair::hooks {

const std::string_view kPrelude = R"lua(
local select, error = select, error
function table.insert(t, ...)
  local n = select("#", ...)
  if n == 1 then t[#t + 1] = (...) return end
  if n ~= 2 then error("table.insert takes two or three arguments") end
  local at, value = ...
  local last = #t + 1
  if at < 1 or at > last then error("position out of bounds") end
  for i = last, at + 1, -1 do t[i] = t[i - 1] end
  t[at] = value
end
function table.remove(t, at)
  local last = #t
  if at == nil then at = last end
  if last == 0 then return nil end
  if at < 1 or at > last + 1 then error("position out of bounds") end
  local out = t[at]
  for i = at, last do t[i] = t[i + 1] end
  return out
end
function table.move(from, first, last, at, to)
  to = to or from
  if at > first and at <= last and to == from then
    for i = last - first, 0, -1 do to[at + i] = from[first + i] end
  else
    for i = 0, last - first do to[at + i] = from[first + i] end
  end
  return to
end
function table.concat(t, between, first, last)
  between, first, last = between or "", first or 1, last or #t
  if first > last then return "" end
  if first == last then return "" .. t[first] end
  local parts, n = {}, 0
  for i = first, last do
    n = n + 1
    parts[n] = i < last and t[i] .. between or t[i]
  end
  while n > 1 do
    local m = 0
    for i = 1, n, 2 do
      m = m + 1
      parts[m] = i < n and parts[i] .. parts[i + 1] or parts[i]
    end
    n = m
  end
  return parts[1]
end
local function less(a, b) return a < b end
function table.sort(t, before)
  before = before or less
  local n, from, to, width = #t, {}, {}, 1
  for i = 1, n do from[i] = t[i] end
  while width < n do
    for low = 1, n, 2 * width do
      local mid, high = low + width, low + 2 * width
      if mid > n + 1 then mid = n + 1 end
      if high > n + 1 then high = n + 1 end
      local i, j = low, mid
      for k = low, high - 1 do
        if i < mid and (j >= high or not before(from[j], from[i])) then
          to[k] = from[i]
          i = i + 1
        else
          to[k] = from[j]
          j = j + 1
        end
      end
    end
    from, to, width = to, from, 2 * width
  end
  for i = 1, n do t[i] = from[i] end
end
)lua";

}  // namespace bellstair::hooks
