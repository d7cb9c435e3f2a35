/** Tests of the account of the memory that requests hold, and its limits. */
import test from "ava";
import { BLOCK_BYTES, BlockPool, BodyBuffer } from "./body_buffer.ts";
import { computeMachineLimits } from "./machine_limits.ts";
import {
  MAX_BUFFERED_BYTES,
  MemoryKind,
  RequestMemory,
} from "./request_memory.ts";

const MEBIBYTE = 1_048_576;

test("a body keeps its bytes, however it is split, and takes hardly more memory", (t) => {
  const body = Buffer.from(Array.from({ length: 50_000 }, (_, i) => i % 251));
  for (const size of [1, 7, 1_000, BLOCK_BYTES, 50_000]) {
    const pool = new BlockPool();
    const buffers = [new BodyBuffer(pool), new BodyBuffer(pool)];
    for (const buffer of buffers) {
      for (let at = 0; at < body.length; at += size) {
        buffer.push(body.subarray(at, at + size));
      }
      t.true(buffer.computeHeld(0) < body.length + BLOCK_BYTES);
    }
    // What was handed out stays as it is when blocks are used again.
    const parts = buffers[0]!.takeParts();
    t.deepEqual(buffers[1]!.assemble(), body);
    const other = new BodyBuffer(pool);
    for (const byte of Buffer.alloc(40_000)) other.push(Buffer.from([byte]));
    t.deepEqual(Buffer.concat(parts), body);
  }
  t.deepEqual(new BodyBuffer(new BlockPool()).takeParts(), []);
});

test("those who hold much give way, ordinary requests always find memory", (t) => {
  let now = 0;
  const memory = new RequestMemory({
    capacity: 16 * MEBIBYTE,
    readTime: () => now,
  });
  const gone: number[] = [];
  const openUpload = (number: number) => {
    const share = memory.open(MemoryKind.Upload, {
      readProgress: () => share.bytes,
      giveWay: () => {
        gone.push(number);
        share.release();
      },
    });
    return share;
  };
  const uploads = [0, 1, 2].map(openUpload);
  for (const upload of uploads) t.true(upload.resize(4 * MEBIBYTE));
  now = 5_000;
  t.true(uploads[2]!.resize(4 * MEBIBYTE - 1));
  memory.observe();
  now = 6_000;
  t.true(uploads[2]!.resize(4 * MEBIBYTE));
  t.true(openUpload(3).resize(MEBIBYTE));
  t.is(gone.length, 1);
  const body = memory.open(MemoryKind.Body);
  body.hold(15 * MEBIBYTE);
  t.true(openUpload(4).resize(100_000));
  t.false(openUpload(5).resize(MEBIBYTE));
  t.deepEqual(memory.heldByKind.get(MemoryKind.Upload), 100_000);
});

test("an answer that its caller doesn't read gives way to other answers", (t) => {
  const memory = new RequestMemory({
    capacity: 4 * MAX_BUFFERED_BYTES,
    readTime: () => 0,
  });
  const unread = memory.open(MemoryKind.Answer, {
    readProgress: () => 0,
    giveWay: () => unread.release(),
  });
  unread.hold(MAX_BUFFERED_BYTES - MEBIBYTE);
  t.true(memory.open(MemoryKind.Event).resize(MEBIBYTE));
  t.true(memory.open(MemoryKind.Answer).resize(MEBIBYTE));
  t.is(unread.bytes, 0);
});

test("the limits of a machine leave memory for the process and descriptors for targets", (t) => {
  for (const memoryMegabytes of [160, 350, 2_000]) {
    const limits = computeMachineLimits({
      memoryMegabytes,
      fileDescriptors: 1_024,
    });
    t.true(limits.requestBytes >= 5 * 4 * MEBIBYTE);
    t.true(limits.requestBytes < memoryMegabytes * 1_000_000 / 4);
    t.is(limits.connections, 480);
  }
  t.is(computeMachineLimits(undefined).requestBytes, 256 * MEBIBYTE);
});
